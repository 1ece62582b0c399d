/** Value of a record's own property; undefined for an inherited one, as a key from outside may be "constructor". */
export function getOwn<Value>(record: Readonly<Record<string, Value>>, key: string): Value | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
