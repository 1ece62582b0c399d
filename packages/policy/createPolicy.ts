import { EntryPolicy } from "./EntryPolicy";
import type { PolicyOptions } from "./PolicyOptions";

/** Creates the policy of one entry. */
export function createPolicy(options: PolicyOptions): EntryPolicy {
  return new EntryPolicy(options);
}
