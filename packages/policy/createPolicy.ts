import { EntryPolicy } from "./EntryPolicy";
import type { PolicyOptions } from "./PolicyOptions";

export function createPolicy(options: PolicyOptions): EntryPolicy {
  return new EntryPolicy(options);
}
