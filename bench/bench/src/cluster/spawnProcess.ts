// Spawns a process of a run and waits until it reports that it is ready. Processes are killed by their process IDs, and
// none outlives the run.
import { spawn, type ChildProcess } from 'node:child_process'
import { openSync, closeSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const readyTimeoutMilliseconds = 20_000

/** A running process of a run. */
export interface SpawnedProcess {
  name: string
  child: ChildProcess
  /** Resolves to the exit code once the process has exited; null if a signal ended it. */
  exited: Promise<number | null>
  isRunning: () => boolean
  /** Sends SIGTERM, and SIGKILL after the given time; resolves once the process has exited. */
  stop: (graceMilliseconds?: number) => Promise<void>
  kill: (signal: NodeJS.Signals) => void
}

export interface SpawnProcessOptions {
  name: string
  /** Module specifier of the script, for example @siskinbeam/entry-host/runEntryHost. */
  script: string
  arguments: string[]
  environment?: Record<string, string>
  /** File that receives standard error. */
  logFile: string
}

const runningProcesses = new Set<ChildProcess>()
process.on('exit', () => runningProcesses.forEach(child => child.kill('SIGKILL')))

/** Spawns a process; resolves when its standard output contains "ready". Rejects if it exits before, or after 20 s. */
export async function spawnProcess (options: SpawnProcessOptions): Promise<SpawnedProcess> {
  const logDescriptor = openSync(options.logFile, 'a')
  const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve(options.script)), ...options.arguments], {
    stdio: ['ignore', 'pipe', logDescriptor],
    env: { PATH: process.env.PATH, ...options.environment }
  })
  closeSync(logDescriptor)
  runningProcesses.add(child)
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => {
      runningProcesses.delete(child)
      resolve(code)
    })
  })
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${options.name} is not ready after ${readyTimeoutMilliseconds} ms`)), readyTimeoutMilliseconds)
    child.on('exit', code => {
      clearTimeout(timer)
      reject(new Error(`${options.name} exited with ${code} before it was ready: ${readLastLine(options.logFile)}`))
    })
    child.stdout?.on('data', (chunk: Buffer) => {
      if (!chunk.toString().includes('ready')) return
      clearTimeout(timer)
      resolve()
    })
  })
  child.stdout?.resume()
  const isRunning = (): boolean => runningProcesses.has(child)
  return {
    name: options.name,
    child,
    exited,
    isRunning,
    kill: signal => { if (isRunning()) child.kill(signal) },
    stop: async (graceMilliseconds = 5_000) => {
      if (!isRunning()) return
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), graceMilliseconds)
      await exited
      clearTimeout(timer)
    }
  }
}

function readLastLine (path: string): string {
  return readFileSync(path, 'utf8').trimEnd().split('\n').at(-1) ?? ''
}
