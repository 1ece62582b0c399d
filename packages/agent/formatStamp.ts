import type { Stamp } from "./Stamp";

/** Formats a stamp as a header value. */
export function formatStamp(stamp: Stamp): string {
  return `${stamp.incarnation}/${Math.floor(stamp.issuedAtMs)}`;
}
