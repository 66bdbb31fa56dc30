// Conversion of settings transactions to requests of the store client.
#pragma once

#include "gaugevalve/settings/store_transaction.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"

namespace gaugevalve::control {

// Returns the request for the transaction.
store::TxnRequest MakeRequest(const settings::StoreTransaction& transaction);

// Returns the store's answer to the request, with all entries that were read.
settings::StoreTransactionAnswer MakeAnswer(const store::TxnResponse& response);

}  // namespace gaugevalve::control
