#include "LibEntry/bill_commit.h"

namespace azurehaven {

namespace {

constexpr milliseconds BillTimeout{3000};

} // namespace

bool commitBill(const entry_services &Services, const bill &Bill) {
  auto Ticket = Services.Bills.add(Bill);
  if (isError(Ticket))
    return false;
  const bill_state State =
      Services.Bills.waitUntilDurable(valueOf(Ticket), BillTimeout);
  if (State != bill_state::Pending)
    return true;
  Services.Metrics.increment("azurehaven_late_bills_total");
  Services.Log.write(
      log_level::Error, "bill_not_durable",
      {{"request", Bill.Request.text()}, {"account", Bill.Account.text()}});
  return false;
}

} // namespace azurehaven
