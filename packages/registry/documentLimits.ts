/** Sizes of route documents in their encoded form. */
export const documentLimits = {
  /** A larger document is rejected: with its copies for the log and the other coordinators, it has to fit into their heaps. */
  maxBytes: 4_194_304,
  /** A larger document is fetched in parts of this size, since other messages have to pass a slow link in between. */
  partBytes: 65_536,
  /** Earlier releases have accepted larger documents, but only with a text of 16 MiB. */
  maxFetchedBytes: 16_777_216,
} as const;
