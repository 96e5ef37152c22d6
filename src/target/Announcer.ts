import { request } from 'undici';
import type { Disposable, Incarnation, TargetAnnouncement } from '../api/index.js';

const renewalIntervalMs = 1_000;
const requestTimeoutMs = 800;

/** Announces a target to the first daemon that accepts it; on a failure or refusal it switches to the next. */
export class Announcer implements Disposable {
  private state: TargetAnnouncement['state'] = 'active';

  private homeIndex = 0;

  /** Number of home changes, by which daemons decide which of two homes is the current one. */
  private homeChanges = 0;

  private timer: NodeJS.Timeout | undefined;

  private isDisposed = false;

  public constructor(
    private readonly homes: readonly string[],
    private readonly announcement: Omit<TargetAnnouncement, 'state' | 'incarnation'> & {
      readonly incarnation: Incarnation;
    },
  ) {}

  /** Announces the target now and then periodically until disposed. */
  public async start(): Promise<void> {
    await this.announce();
    if (this.isDisposed) return;
    this.timer = setTimeout(() => {
      void this.start();
    }, renewalIntervalMs);
  }

  /** Announces that the target drains and takes no new requests. */
  public async drain(): Promise<void> {
    this.state = 'draining';
    await this.announce();
  }

  public dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private async announce(): Promise<void> {
    for (let tries = 0; tries < this.homes.length; tries += 1) {
      const home = this.homes[this.homeIndex % this.homes.length];
      if (home !== undefined && (await this.announceTo(home))) return;
      this.homeIndex += 1;
      this.homeChanges += 1;
    }
  }

  private async announceTo(home: string): Promise<boolean> {
    const id = encodeURIComponent(this.announcement.id);
    try {
      const response = await request(`http://${home}/.limpettrack/targets/${id}`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...this.announcement, state: this.state, move: this.homeChanges }),
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
