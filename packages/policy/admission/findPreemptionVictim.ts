import type { AttemptState } from "../AttemptState";
import type { RequestState } from "../RequestState";
import type { TargetState } from "../TargetState";

interface Victim {
  readonly state: RequestState;
  readonly attempt: AttemptState;
}

/**
 * Finds the running attempt to preempt for a queued request. Considers repeatable requests of preemptible
 * classes with lower engine priority, and prefers the lowest priority and then the attempt with the fewest
 * tokens, which loses the least work.
 */
export function findPreemptionVictim(
  waiting: RequestState,
  running: Iterable<RequestState>,
  targets: readonly TargetState[],
): Victim | null {
  let best: Victim | null = null;
  for (const state of running) {
    const attempt = state.attempts[0];
    const { classDefaults } = state.settings;
    const isLower = classDefaults.enginePriority < waiting.settings.classDefaults.enginePriority;
    if (!classDefaults.preemptible || !isLower || !state.request.repeatable || attempt === undefined) {
      continue;
    }
    const mayTake = targets.includes(attempt.target) && !waiting.triedTargets.has(attempt.target.name);
    if (mayTake && (best === null || isBetter({ state, attempt }, best))) {
      best = { state, attempt };
    }
  }
  return best;
}

function isBetter(left: Victim, right: Victim): boolean {
  const leftPriority = left.state.settings.classDefaults.enginePriority;
  const rightPriority = right.state.settings.classDefaults.enginePriority;
  return leftPriority === rightPriority
    ? left.attempt.tokenCount < right.attempt.tokenCount
    : leftPriority < rightPriority;
}
