// Invariants asserted while the program runs. Tests and benches throw on a violation; the daemon
// counts and logs it and goes on, because ending a host would harm the guests that it serves.

/** The points that must always hold; docs/PROOFS.md has a row for each. */
export enum Invariant {
  MeasuringWithinBudget = 'measuring-within-budget',
  AnswerWholeAndOwn = 'answer-whole-and-own',
  NotRunIsTrue = 'not-run-is-true',
  RunAtMostOnce = 'run-at-most-once',
  NoWorkForLeavingServer = 'no-work-for-leaving-server',
  GracefulStop = 'graceful-stop',
  BundleNeverOlder = 'bundle-never-older'
}

export type ViolationHandler = (invariant: Invariant, detail: string) => void

const violations = new Map<Invariant, number>(Object.values(Invariant).map(invariant => [invariant, 0]))

const throwViolation: ViolationHandler = (invariant, detail) => {
  throw new Error(`invariant ${invariant} violated: ${detail}`)
}

let handleViolation: ViolationHandler = throwViolation

/** Sets what happens on a violation. The default throws. */
export function setViolationHandler (handler: ViolationHandler = throwViolation): void {
  handleViolation = handler
}

export interface CheckInvariantOptions {
  invariant: Invariant
  holds: boolean
  /** Called only on a violation, since the request path checks often. */
  detail: () => string
}

/** Counts and reports a violation. */
export function checkInvariant ({ invariant, holds, detail }: CheckInvariantOptions): void {
  if (holds) return
  violations.set(invariant, (violations.get(invariant) ?? 0) + 1)
  handleViolation(invariant, detail())
}

/** The number of violations of each invariant since the start. */
export function readViolations (): Record<string, number> {
  return Object.fromEntries(violations)
}
