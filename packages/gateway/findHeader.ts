/** Value of the first header with this name, in lower case, in a list of names and values; null for none. */
export function findHeader(headers: readonly string[], name: string): string | null {
  const at = headers.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === name);
  return at < 0 ? null : (headers[at + 1] ?? null);
}
