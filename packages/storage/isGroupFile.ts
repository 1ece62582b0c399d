/** Whether a name in a data folder is that of an identity, snapshot or log segment. */
export function isGroupFile(name: string): boolean {
  return !name.endsWith(".tmp") && (name === "identity" || name === "snapshot" || name.startsWith("log-"));
}
