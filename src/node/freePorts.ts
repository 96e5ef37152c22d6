import { once } from 'node:events';
import { createServer } from 'node:net';

/** Finds `count` free ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    if (typeof address === 'object' && address !== null) ports.push(address.port);
  }
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}
