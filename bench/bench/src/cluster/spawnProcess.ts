// Starts one process of a run and waits until it says that it is ready. Processes are ended by their
// id, and none outlives the run.
import { spawn, type ChildProcess } from 'node:child_process'
import { openSync, closeSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const readyMilliseconds = 20_000

/** A process of a run. */
export interface SpawnedProcess {
  name: string
  child: ChildProcess
  /** Settled once the process has exited. */
  exited: Promise<number | null>
  running: () => boolean
  /** Ends it by SIGTERM, and by SIGKILL after the time given. */
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

const livingProcesses = new Set<ChildProcess>()
process.on('exit', () => livingProcesses.forEach(child => child.kill('SIGKILL')))

/** Starts a process; resolves when it prints a line that starts with "ready". */
export async function spawnProcess (options: SpawnProcessOptions): Promise<SpawnedProcess> {
  const logDescriptor = openSync(options.logFile, 'a')
  const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve(options.script)), ...options.arguments], {
    stdio: ['ignore', 'pipe', logDescriptor],
    env: { PATH: process.env.PATH, ...options.environment }
  })
  closeSync(logDescriptor)
  livingProcesses.add(child)
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => {
      livingProcesses.delete(child)
      resolve(code)
    })
  })
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${options.name} is not ready after ${readyMilliseconds} ms`)), readyMilliseconds)
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
  const running = (): boolean => livingProcesses.has(child)
  return {
    name: options.name,
    child,
    exited,
    running,
    kill: signal => { if (running()) child.kill(signal) },
    stop: async (graceMilliseconds = 5_000) => {
      if (!running()) return
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
