import type { RequestClass } from "@clementinemux/common/RequestClass";
import type { ClassDefaults } from "@clementinemux/fleet/ClassDefaults";

/**
 * Effective settings for one kind of request of a team: the defaults with the matching exceptions applied.
 */
export interface TeamSettings {
  readonly requestClass: RequestClass;
  readonly classDefaults: ClassDefaults;
  readonly deadlineMs: number;
  /** Limits across all entries. */
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  readonly teamWeight: number;
  /** Ids of the matching exceptions, lowest precedence first. */
  readonly exceptionIds: readonly string[];
}
