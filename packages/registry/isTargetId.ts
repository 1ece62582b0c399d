/** Visible ASCII, which every header and log line can carry; every gateway holds each id, so its length is limited. */
const targetId = /^[\x21-\x7e]{1,256}$/;

/** Whether a text may name a target. Any other text comes from a writer that is no target. */
export function isTargetId(text: string): boolean {
  return targetId.test(text);
}
