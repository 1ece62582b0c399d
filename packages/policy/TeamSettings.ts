import type { RequestClass } from "@clementinemux/common/RequestClass";
import type { ClassDefaults } from "@clementinemux/fleet/ClassDefaults";

/** Settings in force for one kind of request of a team: the defaults with the listed exceptions applied. */
export interface TeamSettings {
  readonly requestClass: RequestClass;
  readonly classDefaults: ClassDefaults;
  readonly deadlineMs: number;
  /** Limits over all entries together. */
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  readonly teamWeight: number;
  /** Ids of the exceptions that took effect, weakest first. */
  readonly exceptionIds: readonly string[];
}
