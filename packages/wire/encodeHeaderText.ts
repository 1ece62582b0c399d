/** Control characters other than the tab have no place in a header value. */
const controlCharacter = /[\u0000-\u0008\u000a-\u001f\u007f]/;

/**
 * Encodes a text as the value of an HTTP header: its UTF-8 bytes, one character each, as Node writes header values in
 * Latin-1. Returns null for a text with control characters, which no header can carry.
 */
export function encodeHeaderText(text: string): string | null {
  return controlCharacter.test(text) ? null : Buffer.from(text, "utf8").toString("latin1");
}
