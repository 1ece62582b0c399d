interface FreedCandidate {
  readonly load: number;
  readonly slots: number;
  /** Whether this gateway has freed a slot there since its last report. */
  readonly hasFreed: boolean;
}

/** Free slots per target below which slots are scarce, so that gateways are likely to choose the same one. */
const scarceSlots = 2;

/**
 * Candidates for a choice by free slots: while slots are scarce, targets at which this gateway itself has just freed a
 * slot. No other gateway sees that slot yet, so no two take it.
 */
export function selectFreed<Candidate extends FreedCandidate>(
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const free = candidates.reduce((sum, { load, slots }) => sum + Math.max(0, slots - load), 0);
  const freed = candidates.filter(({ load, slots, hasFreed }) => hasFreed && load < slots);
  return freed.length > 0 && free < candidates.length * scarceSlots ? freed : candidates;
}
