/**
 * Handles one kind of message. The returned value is the response body. A thrown `RemoteError` is sent to the
 * peer with its code; any other error is sent with the code `internal`.
 */
export type MessageHandler = (body: unknown, peer: string) => unknown;
