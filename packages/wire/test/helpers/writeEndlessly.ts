import type { Socket } from "node:net";

/** Writes the same bytes repeatedly, as fast as they are accepted, until the other side closes. */
export function writeEndlessly(socket: Socket, text: string): void {
  const write = (): void => {
    while (socket.writable && socket.write(text)) {
      // Continues until the socket buffer is full.
    }
  };
  socket.on("drain", write);
  write();
}
