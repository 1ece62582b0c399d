import { validateHeaderName, validateHeaderValue } from "node:http";

/**
 * Returns why Node would not write a header list (names and values in turn), or null if it would. Node's parser
 * accepts bytes in names and values for which its writer throws.
 */
export function findHeaderFault(headers: readonly string[]): string | null {
  try {
    for (let at = 0; at < headers.length; at += 2) {
      const name = headers[at] ?? "";
      validateHeaderName(name);
      validateHeaderValue(name, headers[at + 1] ?? "");
    }
    return null;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
