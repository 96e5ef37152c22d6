import { once } from 'node:events';
import { createServer } from 'node:net';
import { listen } from './listen.js';

/** Finds `count` free ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    ports.push(await listen(server, '127.0.0.1:0'));
  }
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}
