/** Size of a head as limits count it, and as Node's parser does: the target of a request, the names and the values. */
export function countHeadBytes(rawHeaders: readonly string[], url = ""): number {
  return rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
}
