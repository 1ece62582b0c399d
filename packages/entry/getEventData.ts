const dataField = "data:";

/** Returns the data of an event, with several data lines joined; null when it has none, such as a comment. */
export function getEventData(event: string): string | null {
  if (event.startsWith("data: ") && !event.includes("\n")) {
    return event.slice(dataField.length + 1);
  }
  const lines = event.split("\n").filter((line) => line.startsWith(dataField));
  if (lines.length === 0) {
    return null;
  }
  return lines
    .map((line) => line.slice(line[dataField.length] === " " ? dataField.length + 1 : dataField.length))
    .join("\n");
}
