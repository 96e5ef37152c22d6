import { once } from 'node:events';
import type { Server } from 'node:net';

/** Binds a server to `host:port` and returns the port; rejects if the address cannot be bound. */
export async function listen(server: Server, address: string): Promise<number> {
  const [host = '', port = ''] = address.split(/:(?=\d+$)/);
  server.listen(Number(port), host);
  await once(server, 'listening');
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : Number(port);
}
