package ragwortbarrow.scenarios

import java.nio.file.Path

/** Runs the scenarios of the files that are named as arguments, for work on a scenario without the whole build. */
fun main(arguments: Array<String>) = arguments.map(Path::of).forEach { file ->
    runScenario(file)
    println("$file holds")
}
