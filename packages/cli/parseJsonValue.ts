/** Reads a value from the command line: JSON, or a plain string. */
export function parseJsonValue(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
