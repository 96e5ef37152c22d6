import { spawn, type ChildProcess as NodeChild } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { FleetError, type Disposable } from '../api/index.js';

const stopLimit = 30_000;

/** Path of the compiled main file of one of the binaries. */
export function binaryPath(name: 'daemon' | 'store' | 'target' | 'cli'): string {
  return fileURLToPath(new URL(`../${name}/main.js`, import.meta.url));
}

/** One process of the demo. Only the demo starts processes; a daemon never does. */
export class ChildProcess implements Disposable {
  private readonly child: NodeChild;

  private output = '';

  public constructor(
    public readonly name: string,
    file: string,
    args: readonly string[],
  ) {
    this.child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    const keep = (chunk: Buffer): void => {
      this.output += chunk.toString();
    };
    this.child.stdout?.on('data', keep);
    this.child.stderr?.on('data', keep);
  }

  /** Process id. */
  public get id(): number {
    return this.child.pid ?? 0;
  }

  /** What the process has printed so far. */
  public get text(): string {
    return this.output;
  }

  /** Resolves when the output matches; throws `FleetError` if the process ends first. */
  public async waitFor(pattern: RegExp): Promise<RegExpMatchArray> {
    for (;;) {
      const match = this.output.match(pattern);
      if (match !== null) return match;
      if (this.child.exitCode !== null) {
        throw new FleetError(`ended with ${this.child.exitCode}: ${this.output}`, {
          step: 'demo.start',
          peer: this.name,
        });
      }
      await Promise.race([
        once(this.child.stdout as NodeJS.EventEmitter, 'data'),
        once(this.child, 'exit'),
      ]);
    }
  }

  /** Waits for the end and returns the exit code. */
  public async wait(): Promise<number> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode ?? -1;
  }

  /** Sends a signal. */
  public signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Graceful shutdown; a process that does not end in time is killed. */
  public async stop(): Promise<void> {
    const timer = setTimeout(() => this.child.kill('SIGKILL'), stopLimit);
    this.child.kill('SIGTERM');
    await this.wait();
    clearTimeout(timer);
  }

  public dispose(): void {
    this.child.kill('SIGKILL');
  }
}
