#include "balancer_set.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/standins/json_fields.h"

namespace gaugevalve::standins {
namespace {

bool Contains(const std::vector<base::SocketAddress>& addresses,
              const base::SocketAddress& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

std::vector<std::string> ToTexts(const std::vector<base::SocketAddress>& addresses) {
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const base::SocketAddress& address : addresses) {
    texts.push_back(address.ToString());
  }
  return texts;
}

std::vector<base::SocketAddress> ReadList(JsonFields& fields, const std::string& name,
                                          const std::vector<base::SocketAddress>& current) {
  std::vector<std::string> texts = ToTexts(current);
  fields.ReadTexts(name, texts);
  std::vector<base::SocketAddress> addresses;
  for (const std::string& text : texts) {
    const std::optional<base::SocketAddress> address = base::SocketAddress::Parse(text);
    if (!address) {
      fields.Report(name, "'" + text + "' is not an IP:port");
      continue;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

}  // namespace

BalancerSet::BalancerSet(std::vector<base::SocketAddress> balancers, std::uint64_t seed)
    : balancers_(std::move(balancers)), random_(seed) {}

std::optional<base::SocketAddress> BalancerSet::Choose() {
  if (balancers_.empty()) {
    return std::nullopt;
  }
  const base::SocketAddress& choice = balancers_[random_.NextBelow(balancers_.size())];
  if (Contains(cut_, choice)) {
    return std::nullopt;
  }
  return choice;
}

std::string BalancerSet::ToJson() const {
  const nlohmann::json document = {{"balancers", ToTexts(balancers_)}, {"cut", ToTexts(cut_)}};
  return document.dump();
}

void BalancerSet::ChangeFromJson(std::string_view text) {
  JsonFields fields("balancers", text);
  std::vector<base::SocketAddress> balancers = ReadList(fields, "balancers", balancers_);
  std::vector<base::SocketAddress> cut = ReadList(fields, "cut", cut_);
  for (const base::SocketAddress& address : cut) {
    if (!Contains(balancers, address)) {
      fields.Report("cut", address.ToString() + " is not a balancer");
    }
  }
  fields.Finish();
  balancers_ = std::move(balancers);
  cut_ = std::move(cut);
}

}  // namespace gaugevalve::standins
