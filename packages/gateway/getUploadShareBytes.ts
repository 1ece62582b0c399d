const uploadShare = 0.5;
/** Uploads never get more than this, so that complete requests and responses have room. */
const maxUploadShare = 0.75;
/** One body of the largest size that documents usually allow, with its head and unused memory. */
const oneUploadBytes = 4_456_448;

/** Part of a gateway's budget for uploads that are not complete; the rest is for requests in work and responses. */
export function getUploadShareBytes(totalBytes: number): number {
  return Math.min(totalBytes * maxUploadShare, Math.max(totalBytes * uploadShare, oneUploadBytes));
}
