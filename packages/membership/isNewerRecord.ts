import type { DirectoryRecord } from "./DirectoryRecord";

/** Whether `candidate` wins over `present`, a record of the same name; see `DirectoryRecord` for the rule. */
export function isNewerRecord(candidate: DirectoryRecord, present: DirectoryRecord): boolean {
  if (candidate.incarnation !== present.incarnation) {
    return candidate.incarnation > present.incarnation;
  }
  if (candidate.edit !== present.edit) {
    return candidate.edit > present.edit;
  }
  return candidate.origin > present.origin;
}
