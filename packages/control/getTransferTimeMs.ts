/** Of a slow link between coordinators: 8 Mbit/s. */
const bytesPerMs = 1000;

/** Time that a transfer may take beside the time allowed for a short message. */
export function getTransferTimeMs(sizeBytes: number): number {
  return Math.ceil(sizeBytes / bytesPerMs);
}
