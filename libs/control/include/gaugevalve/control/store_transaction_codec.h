// The settings' transactions as requests to the store.
#pragma once

#include "gaugevalve/settings/store_transaction.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"

namespace gaugevalve::control {

// Returns the request that does what the transaction says.
store::TxnRequest MakeRequest(const settings::StoreTransaction& transaction);

// Returns the store's answer to it, with all entries that were read.
settings::StoreTransactionAnswer MakeAnswer(const store::TxnResponse& response);

}  // namespace gaugevalve::control
