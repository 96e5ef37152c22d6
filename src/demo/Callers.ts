import { randomUUID } from 'node:crypto';
import { Agent, request, type Dispatcher } from 'undici';
import type { Disposable, RandomSource } from '../api/index.js';
import { createContent } from '../target/TargetServer.js';
import type { CallerAnswer, RequestKind } from './Types.js';

const requestTimeoutMs = 20_000;
const keepAliveTimeoutMs = 4_000;

/** Sends requests to several daemons and checks that each answer is complete and belongs to its request. */
export class Callers implements Disposable {
  private readonly agent = new Agent({ connections: 64, keepAliveTimeout: keepAliveTimeoutMs });

  private requestCount = 0;

  public constructor(
    private readonly daemons: () => readonly string[],
    private readonly kinds: readonly RequestKind[],
    private readonly random: RandomSource,
  ) {}

  /** Sends `count` requests, at most `parallel` concurrently. */
  public async run(count: number, parallel: number): Promise<CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    let remaining = count;
    const worker = async (): Promise<void> => {
      while (remaining > 0) {
        remaining -= 1;
        answers.push(await this.call(this.pickKind()));
      }
    };
    await Promise.all(Array.from({ length: parallel }, worker));
    return answers;
  }

  /** Sends one request. A POST carries `key` as its idempotency key, a random one by default. */
  public async call(kind: RequestKind, key: string = randomUUID()): Promise<CallerAnswer> {
    this.requestCount += 1;
    const path = `${kind.path}/${this.requestCount}`;
    const started = performance.now();
    const isWrite = kind.method === 'POST';
    const sent = isWrite ? Buffer.from(`order ${key}`) : undefined;
    try {
      const response = await request(this.urlOf(kind, path), {
        method: kind.method,
        headers: isWrite ? { 'idempotency-key': key } : {},
        body: sent ?? null,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const expected = sent ?? createContent(path, kind.size);
      const result = Callers.classify(response, body, expected);
      const duration = performance.now() - started;
      return {
        kind,
        status: response.statusCode,
        duration,
        result,
        key: isWrite ? key : undefined,
      };
    } catch {
      const duration = performance.now() - started;
      return { kind, status: 0, duration, result: 'unknown', key: isWrite ? key : undefined };
    }
  }

  public dispose(): void {
    void this.agent.destroy();
  }

  private static classify(
    response: Dispatcher.ResponseData,
    body: Buffer,
    expected: Buffer,
  ): CallerAnswer['result'] {
    if (response.statusCode === 200) return body.equals(expected) ? 'done' : 'wrong';
    return response.headers['limpettrack-outcome'] === 'not-run' ? 'not-run' : 'unknown';
  }

  private urlOf(kind: RequestKind, path: string): string {
    const daemons = this.daemons();
    const daemon = daemons[Math.floor(this.random() * daemons.length)] ?? '';
    return `http://${daemon}${path}?size=${kind.size}&work=${kind.serviceTime}`;
  }

  private pickKind(): RequestKind {
    let point = this.random();
    const kind = this.kinds.find(({ share }) => {
      point -= share;
      return point < 0;
    });
    return kind ?? (this.kinds[0] as RequestKind);
  }
}
