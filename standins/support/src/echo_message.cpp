#include "gaugevalve/standins/echo_message.h"

#include <nlohmann/json.hpp>

namespace gaugevalve::standins {
namespace {

using Json = nlohmann::json;

std::vector<std::uint8_t> ToBytes(const std::string& text) { return {text.begin(), text.end()}; }

Json ToJson(const EchoRequest& request) {
  return {{"service", request.service}, {"flow", request.flow}, {"number", request.number}};
}

// Throws Json::exception when a field is missing or of another type.
EchoRequest RequestFromJson(const Json& json) {
  EchoRequest request;
  json.at("service").get_to(request.service);
  json.at("flow").get_to(request.flow);
  json.at("number").get_to(request.number);
  return request;
}

Json ParseOrDiscard(std::span<const std::uint8_t> bytes) {
  constexpr bool kAllowExceptions = false;
  return Json::parse(bytes.begin(), bytes.end(), nullptr, kAllowExceptions);
}

}  // namespace

std::vector<std::uint8_t> EncodeEchoRequest(const EchoRequest& request, std::size_t minimum_bytes) {
  std::string text = ToJson(request).dump();
  if (text.size() < minimum_bytes) {
    text.resize(minimum_bytes, ' ');
  }
  return ToBytes(text);
}

std::vector<std::uint8_t> EncodeEchoAnswer(const EchoAnswer& answer) {
  const Json json = {{"request", ToJson(answer.request)},
                     {"endpoint", answer.endpoint},
                     {"endpoint_service", answer.endpoint_service}};
  return ToBytes(json.dump());
}

std::optional<EchoRequest> DecodeEchoRequest(std::span<const std::uint8_t> bytes) {
  try {
    return RequestFromJson(ParseOrDiscard(bytes));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<EchoAnswer> DecodeEchoAnswer(std::span<const std::uint8_t> bytes) {
  try {
    const Json json = ParseOrDiscard(bytes);
    EchoAnswer answer;
    answer.request = RequestFromJson(json.at("request"));
    json.at("endpoint").get_to(answer.endpoint);
    json.at("endpoint_service").get_to(answer.endpoint_service);
    return answer;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace gaugevalve::standins
