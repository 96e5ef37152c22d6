import { request } from 'undici';
import type { ProbeOutcome } from '../common/health/index.js';

const probeTimeoutMs = 800;
const healthPath = '/.health';

/** Probes the health endpoint of the target at `host:port`; never rejects. */
export async function probeTarget(address: string): Promise<ProbeOutcome> {
  try {
    const { statusCode, body } = await request(`http://${address}${healthPath}`, {
      signal: AbortSignal.timeout(probeTimeoutMs),
    });
    await body.dump();
    return { kind: statusCode < 400 ? 'healthy' : 'unhealthy' };
  } catch {
    return { kind: 'unreachable' };
  }
}
