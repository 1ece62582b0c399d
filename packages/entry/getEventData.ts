const dataLineStart = "\ndata:";

/**
 * Returns the data of an event, with several data lines joined; null when it has none, such as a comment. Searches the lines
 * in place, since an event may consist of very many short ones.
 */
export function getEventData(event: string): string | null {
  const text = `\n${event}`;
  const lines: string[] = [];
  for (let at = text.indexOf(dataLineStart); at >= 0; at = text.indexOf(dataLineStart, at + 1)) {
    const start = at + dataLineStart.length;
    const end = text.indexOf("\n", start);
    lines.push(text.slice(text[start] === " " ? start + 1 : start, end < 0 ? text.length : end));
  }
  return lines.length === 0 ? null : lines.join("\n");
}
