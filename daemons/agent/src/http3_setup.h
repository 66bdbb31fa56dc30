// Files that an agent of an http3 service reads at start and on a reload request.
#pragma once

#include <memory>

#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/settings/node_settings.h"

namespace gaugevalve::agent {

// Parsed contents of the files.
struct Http3Files {
  std::shared_ptr<const connection_id::Codec> codec;
  quic::CertificateCredentials credentials;
};

// Returns whether these are the settings of an agent for an http3 service.
bool ServesHttp3(const settings::NodeSettings& node);

// Reads all files that the settings name. Throws base::FindingsError with every fault, also for
// files that the settings don't name.
Http3Files LoadHttp3Files(const settings::NodeSettings& node);

// Reloads the certificate and key. Returns null when they can't be used: each finding is then
// logged, and the caller should keep the certificate and key loaded before.
quic::CertificateCredentials ReloadCertificate(const settings::NodeSettings& node);

}  // namespace gaugevalve::agent
