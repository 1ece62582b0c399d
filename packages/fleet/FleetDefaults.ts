import type { RequestClass } from "@clementinemux/common/RequestClass";
import type { ClassDefaults } from "./ClassDefaults";
import type { ServiceDefaults } from "./ServiceDefaults";
import type { GroupDefaults } from "./GroupDefaults";

/** Default settings of the fleet. */
export interface FleetDefaults {
  readonly classes: Readonly<Record<RequestClass, ClassDefaults>>;
  /** Class of a team without an exception. */
  readonly teamClass: RequestClass;
  /** Limits of a team across all entries. */
  readonly teamRequestsPerS: number;
  readonly teamTokensPerS: number;
  /** Weight of a team in fair queueing within its class. */
  readonly teamWeight: number;
  readonly servingLeaseMs: number;
  readonly permitMaxAgeMs: number;
  readonly orderMaxAgeMs: number;
  /** How long a caller may cache a response of `/v1/addresses`. */
  readonly addressTtlMs: number;
  readonly subsetGroups: number;
  /** Retries and hedges as a share of recent traffic. */
  readonly retryBudgetShare: number;
  readonly maxAttempts: number;
  readonly maxEjectedShare: number;
  readonly connectTimeoutMs: number;
  readonly firstTokenTimeoutMs: number;
  readonly tokenGapTimeoutMs: number;
  readonly claimRetentionMs: number;
  readonly tombstoneRetentionMs: number;
  readonly services: Readonly<Record<string, ServiceDefaults>>;
  readonly groups: GroupDefaults;
}
