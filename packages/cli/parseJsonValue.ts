/** Parses a value of the command line as JSON; text that is not JSON is a string. */
export function parseJsonValue(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
