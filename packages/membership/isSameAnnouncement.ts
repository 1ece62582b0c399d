/** Compares two announcements field by field; lists are compared in order. */
export function isSameAnnouncement(left: object | null, right: object | null): boolean {
  if (left === null || right === null) {
    return left === right;
  }
  const leftFields = left as Record<string, unknown>;
  const rightFields = right as Record<string, unknown>;
  const names = Object.keys(leftFields);
  return (
    names.length === Object.keys(rightFields).length &&
    names.every((name) => JSON.stringify(leftFields[name]) === JSON.stringify(rightFields[name]))
  );
}
