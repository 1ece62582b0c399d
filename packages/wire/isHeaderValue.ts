import { findHeaderFault } from "./findHeaderFault";

/** Whether Node would write a text as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return findHeaderFault(["value", text]) === null;
}
