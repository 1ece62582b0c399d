import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { DecideMapResponse } from "@clementinemux/messages/DecideMapResponse";
import { MapDecision } from "@clementinemux/messages/MapDecision";
import type { GroupLeaseRecord } from "./GroupLeaseRecord";

interface DecisionResult {
  readonly record: GroupLeaseRecord;
  readonly response: DecideMapResponse;
}

// Each aborted version ends a run of activated ones, so this limits the number of aborts that are recorded.
const maxActivatedRuns = 64;

/**
 * Decides a map version, or returns the earlier decision. An undecided version below the highest decided one
 * counts as aborted, since no leader can activate it any more. The caller has checked the epoch.
 */
export function decideMap(
  record: GroupLeaseRecord,
  { version, decision }: Pick<DecideMapRequest, "version" | "decision">,
): Either<string, DecisionResult> {
  if (!Number.isSafeInteger(version) || version < 1) {
    return Left("map versions are whole numbers that start at 1");
  }
  if (version < record.heldFrom) {
    return Left(`the decision on map version ${version} is no longer stored`);
  }
  if (version <= record.mapVersion) {
    const isActivated = record.activated.some(([first, last]) => first <= version && version <= last);
    const earlier = isActivated ? MapDecision.Activate : MapDecision.Abort;
    return Right({ record, response: { version, decision: earlier } });
  }
  const activated =
    decision === MapDecision.Activate ? addVersion(record.activated, version) : record.activated;
  const held = activated.slice(-maxActivatedRuns);
  const dropped = activated[activated.length - maxActivatedRuns - 1];
  const heldFrom = dropped === undefined ? record.heldFrom : dropped[1] + 1;
  return Right({
    record: { ...record, mapVersion: version, activated: held, heldFrom },
    response: { version, decision },
  });
}

function addVersion(runs: GroupLeaseRecord["activated"], version: number): GroupLeaseRecord["activated"] {
  const newest = runs.at(-1);
  return newest?.[1] === version - 1
    ? [...runs.slice(0, -1), [newest[0], version]]
    : [...runs, [version, version]];
}
