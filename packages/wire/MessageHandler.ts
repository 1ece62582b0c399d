/**
 * Answers one kind of message. The returned value is the response body. A thrown `RemoteError` is answered
 * with its code; any other error is answered as `internal`.
 */
export type MessageHandler = (body: unknown, peer: string) => unknown;
