import type { SyncedState } from "./SyncedState";

/** What the files of a replica lack of a state that was synced; null if they hold all of it. */
export function findLostState(found: SyncedState, synced: SyncedState): string | null {
  if (found.replicaId !== synced.replicaId) {
    return null;
  }
  const isVoteLost = found.term === synced.term && synced.vote !== null && found.vote !== synced.vote;
  if (found.term < synced.term || isVoteLost) {
    return `the vote of term ${synced.term} is lost`;
  }
  if (found.snapshotIndex < synced.snapshotIndex) {
    return `the snapshot of index ${synced.snapshotIndex} is lost`;
  }
  return found.segment === synced.segment && found.segmentBytes < synced.segmentBytes
    ? `${found.segment} ends at byte ${found.segmentBytes}, before byte ${synced.segmentBytes} that was synced`
    : null;
}
