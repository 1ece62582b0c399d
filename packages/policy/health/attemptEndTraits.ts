import { RetryReason } from "@clementinemux/common/RetryReason";
import { AttemptEndKind } from "../AttemptEndKind";

interface AttemptEndTraits {
  /** Null if the request is not retried. */
  readonly retryReason: RetryReason | null;
  /** Whether the end proves that the target has not run the request. */
  readonly isProvedNotRun: boolean;
  /** Whether the end counts as an error of the target. */
  readonly isTargetFault: boolean;
}

/** Effect of each end of an attempt on retry, outcome and target health. */
export const attemptEndTraits: Readonly<Record<AttemptEndKind, AttemptEndTraits>> = {
  [AttemptEndKind.Completed]: { retryReason: null, isProvedNotRun: false, isTargetFault: false },
  [AttemptEndKind.Cancelled]: { retryReason: null, isProvedNotRun: false, isTargetFault: false },
  [AttemptEndKind.AgentRefused]: {
    retryReason: RetryReason.AgentRefused,
    isProvedNotRun: true,
    isTargetFault: false,
  },
  [AttemptEndKind.TargetOverloaded]: {
    retryReason: RetryReason.TargetOverloaded,
    isProvedNotRun: true,
    // Overload lowers the concurrency limit instead: an overloaded target has not failed.
    isTargetFault: false,
  },
  [AttemptEndKind.ConnectFailed]: {
    retryReason: RetryReason.ConnectFailed,
    isProvedNotRun: true,
    isTargetFault: true,
  },
  [AttemptEndKind.TargetError]: {
    retryReason: RetryReason.TargetError,
    isProvedNotRun: false,
    isTargetFault: true,
  },
  [AttemptEndKind.FirstTokenTimeout]: {
    retryReason: RetryReason.FirstTokenTimeout,
    isProvedNotRun: false,
    isTargetFault: true,
  },
  [AttemptEndKind.TokenGapTimeout]: {
    retryReason: RetryReason.TokenGapTimeout,
    isProvedNotRun: false,
    isTargetFault: true,
  },
  [AttemptEndKind.StreamBroken]: {
    retryReason: RetryReason.StreamBroken,
    isProvedNotRun: false,
    isTargetFault: true,
  },
  [AttemptEndKind.TargetLeaving]: {
    retryReason: RetryReason.TargetLeaving,
    isProvedNotRun: false,
    isTargetFault: false,
  },
};
