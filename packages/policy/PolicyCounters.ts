import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { RetryReason } from "@clementinemux/common/RetryReason";
import { Counters } from "@clementinemux/metrics/Counters";
import { PolicyEvent } from "./PolicyEvent";

/** Counters of the policy by reason or event. */
export class PolicyCounters {
  readonly refusals = new Counters<RefusalReason>(
    "clementinemux_entry_refusals_total",
    "reason",
    Object.values(RefusalReason),
  );
  readonly retries = new Counters<RetryReason>(
    "clementinemux_entry_retries_total",
    "reason",
    Object.values(RetryReason),
  );
  readonly events = new Counters<PolicyEvent>(
    "clementinemux_entry_policy_events_total",
    "event",
    Object.values(PolicyEvent),
  );
}
