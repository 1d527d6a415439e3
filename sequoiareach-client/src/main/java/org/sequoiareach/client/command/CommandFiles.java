package org.sequoiareach.client.command;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Function;
import org.sequoiareach.model.json.InvalidDocumentException;

/** Reads and writes the files given on the command line. */
public final class CommandFiles {

  /** The maximum size of an input file; a sheet of 10,000 organisations takes about 8 MB. */
  private static final long MAX_FILE_BYTES = 32L * 1024 * 1024;

  private CommandFiles() {}

  /**
   * Reads a file and parses it.
   *
   * @param kind the kind of file, for messages
   * @param file the file
   * @param parser the parser of the text
   * @param <T> the type of the value
   * @return the value
   * @throws CommandException if the file cannot be read or is invalid; reports all invalid fields
   */
  public static <T> T read(String kind, Path file, Function<String, T> parser) {
    try {
      return parser.apply(text(kind, file));
    } catch (InvalidDocumentException e) {
      throw new CommandException(
          ExitCode.FAILED, "The " + kind + " " + file + " is invalid:", e.errors());
    }
  }

  /**
   * Writes a new file.
   *
   * @param file the file
   * @param text the content
   * @throws CommandException if the file already exists or cannot be written
   */
  public static void write(Path file, String text) {
    try {
      Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
    } catch (FileAlreadyExistsException e) {
      throw new CommandException(ExitCode.FAILED, "The file " + file + " already exists.");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAILED, "The file " + file + " cannot be written: " + e.getMessage());
    }
  }

  private static String text(String kind, Path file) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new CommandException(
            ExitCode.FAILED,
            "The "
                + kind
                + " "
                + file
                + " exceeds the maximum size of "
                + MAX_FILE_BYTES
                + " bytes.");
      }
      return Files.readString(file);
    } catch (NoSuchFileException e) {
      throw new CommandException(ExitCode.FAILED, "The " + kind + " " + file + " does not exist.");
    } catch (MalformedInputException e) {
      throw new CommandException(
          ExitCode.FAILED, "The " + kind + " " + file + " is not valid UTF-8.");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAILED, "The " + kind + " " + file + " cannot be read: " + e.getMessage());
    }
  }
}
