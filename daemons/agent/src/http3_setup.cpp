#include "http3_setup.h"

#include <chrono>
#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/connection_id/key_set.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::agent {
namespace {

quic::CertificateFiles FilesOf(const settings::NodeSettings& node) {
  return {node.agent->certificate_file, node.agent->key_file};
}

}  // namespace

bool ServesHttp3(const settings::NodeSettings& node) {
  return node.agent && node.agent->http_address.has_value();
}

Http3Files LoadHttp3Files(const settings::NodeSettings& node) {
  base::Findings findings;
  Http3Files files;
  if (node.agent->certificate_file.empty()) {
    findings.push_back({{"settings", 0, 0, "agent.certificate_file"},
                        "is missing: an http3 service needs it, and key_file"});
  } else {
    files.credentials =
        quic::LoadServerCredentials(FilesOf(node), std::chrono::system_clock::now(), findings);
  }
  if (node.connection_id_key_file.empty()) {
    findings.push_back({{"settings", 0, 0, "connection_id_key_file"},
                        "is missing: an http3 service needs the keys that all nodes share"});
  } else {
    files.codec = std::make_shared<const connection_id::Codec>(
        connection_id::KeySet::Load(node.connection_id_key_file, findings));
  }
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return files;
}

quic::CertificateCredentials ReloadCertificate(const settings::NodeSettings& node) {
  base::Findings findings;
  auto credentials =
      quic::LoadServerCredentials(FilesOf(node), std::chrono::system_clock::now(), findings);
  for (const base::Finding& finding : findings) {
    telemetry::Event(telemetry::Level::kError, "certificate_refused")
        .Field("finding", finding.ToString());
  }
  if (credentials != nullptr) {
    telemetry::Event(telemetry::Level::kInfo, "certificate_loaded")
        .Field("file", node.agent->certificate_file);
  }
  return credentials;
}

}  // namespace gaugevalve::agent
