import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type {
  DetectionJob,
  DetectionResult,
  HealthyJob,
  HealthyResult,
  SimulationJob,
} from './SimulationTypes.js';

/** Fixed number of worker threads that leaves cores free for other programs. */
const threadCount = 4;

async function runWorker(
  jobs: readonly SimulationJob[],
  next: () => number,
  results: unknown[],
): Promise<void> {
  const worker = new Worker(new URL('./simulationWorker.js', import.meta.url));
  for (let index = next(); index < jobs.length; index = next()) {
    worker.postMessage(jobs[index]);
    // `once` rejects if the worker emits `error`.
    const [result] = (await once(worker, 'message')) as [unknown];
    results[index] = result;
  }
  await worker.terminate();
}

/** Runs simulations in worker threads; results are in the order of the jobs. */
export async function runSimulations(jobs: readonly DetectionJob[]): Promise<DetectionResult[]>;
export async function runSimulations(jobs: readonly HealthyJob[]): Promise<HealthyResult[]>;
export async function runSimulations(jobs: readonly SimulationJob[]): Promise<unknown[]> {
  const results: unknown[] = [];
  let position = 0;
  const next = () => {
    position += 1;
    return position - 1;
  };
  await Promise.all(Array.from({ length: threadCount }, () => runWorker(jobs, next, results)));
  return results;
}
