/**
 * What a gateway remembers of jobs whether or not it runs them, so that readers that ask again do
 * not read the job's head each time. Held in memory only; the store has it all.
 */
import type * as records from './job-record';

/** What is remembered of a job that may be run elsewhere. */
export interface JobFacts {
  readonly total: number;
  /** Who ran it when it was last looked up; null when that is not known. */
  readonly owner: records.JobOwner | null;
}

/** Jobs of which the unchanging facts are remembered, at the most. */
const MOST_REMEMBERED = 2000;

/** The remembered facts, the oldest forgotten first. */
export class JobMemory {
  private readonly facts = new Map<string, JobFacts>();

  static create(): JobMemory {
    return new JobMemory();
  }

  get(id: string): JobFacts | undefined {
    return this.facts.get(id);
  }

  remember(id: string, facts: JobFacts): void {
    this.facts.delete(id);
    this.facts.set(id, facts);
    const [oldest] = this.facts.keys();
    if (this.facts.size > MOST_REMEMBERED && oldest !== undefined) this.facts.delete(oldest);
  }

  /** Has the next reader look up who runs the job. */
  forgetOwner(id: string): void {
    const facts = this.facts.get(id);
    if (facts) this.facts.set(id, { ...facts, owner: null });
  }
}
