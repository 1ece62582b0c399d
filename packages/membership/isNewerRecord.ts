import type { DirectoryRecord } from "./DirectoryRecord";

/** Orders two records of the same name; see `DirectoryRecord`. */
export function isNewerRecord(candidate: DirectoryRecord, present: DirectoryRecord): boolean {
  if (candidate.incarnation !== present.incarnation) {
    return candidate.incarnation > present.incarnation;
  }
  if (candidate.edit !== present.edit) {
    return candidate.edit > present.edit;
  }
  return candidate.origin > present.origin;
}
