import { request } from 'undici';
import type { Disposable, Incarnation, TargetAnnouncement } from '../api/index.js';

/** Milliseconds between renewals. */
const renewalInterval = 1_000;
const requestTimeout = 800;

/** Announces a target to the first daemon that takes it and moves on when that daemon fails or refuses. */
export class Announcer implements Disposable {
  private state: TargetAnnouncement['state'] = 'active';

  private homeIndex = 0;

  /** Counts changes of home, so that daemons know which of two homes is the later one. */
  private move = 0;

  private timer: NodeJS.Timeout | undefined;

  private isDisposed = false;

  public constructor(
    private readonly homes: readonly string[],
    private readonly announcement: Omit<TargetAnnouncement, 'state' | 'incarnation'> & {
      readonly incarnation: Incarnation;
    },
  ) {}

  /** Announces now and renews until disposed. */
  public async start(): Promise<void> {
    await this.renew();
    if (this.isDisposed) return;
    this.timer = setTimeout(() => {
      void this.start();
    }, renewalInterval);
  }

  /** Tells the home that no new work may come. */
  public async drain(): Promise<void> {
    this.state = 'draining';
    await this.renew();
  }

  public dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private async renew(): Promise<void> {
    for (let tries = 0; tries < this.homes.length; tries += 1) {
      const home = this.homes[this.homeIndex % this.homes.length];
      if (home !== undefined && (await this.announceTo(home))) return;
      this.homeIndex += 1;
      this.move += 1;
    }
  }

  private async announceTo(home: string): Promise<boolean> {
    const id = encodeURIComponent(this.announcement.id);
    try {
      const response = await request(`http://${home}/.limpettrack/targets/${id}`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...this.announcement, state: this.state, move: this.move }),
        signal: AbortSignal.timeout(requestTimeout),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
