import { parentPort } from 'node:worker_threads';
import { simulateDetection } from './DetectionSimulation.js';
import { simulateHealthy } from './HealthySimulation.js';
import type { SimulationJob } from './SimulationTypes.js';

parentPort?.on('message', (job: SimulationJob) => {
  const result = job.type === 'detection' ? simulateDetection(job) : simulateHealthy(job);
  void result.then((value) => parentPort?.postMessage(value));
});
