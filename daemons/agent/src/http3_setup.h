// What an agent of an http3 service reads from files before it starts, and again when told to.
#pragma once

#include <memory>

#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/settings/node_settings.h"

namespace gaugevalve::agent {

// The files' contents, ready for use.
struct Http3Files {
  std::shared_ptr<const connection_id::Codec> codec;
  quic::CertificateCredentials credentials;
};

// Returns whether these are the settings of an agent for an http3 service.
bool ServesHttp3(const settings::NodeSettings& node);

// Reads all files that the settings name. Throws base::FindingsError with every fault, also for
// files that the settings don't name.
Http3Files LoadHttp3Files(const settings::NodeSettings& node);

// Reads the certificate and key again. Returns null when they can't be used: each finding was
// written to the log, and what was loaded before should go on serving.
quic::CertificateCredentials ReloadCertificate(const settings::NodeSettings& node);

}  // namespace gaugevalve::agent
