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

/** Reads and writes the files that commands name. */
public final class Documents {

  /** The longest file read; a sheet of 10,000 organisations takes about 8 MB. */
  private static final long MAX_FILE_BYTES = 32L * 1024 * 1024;

  private Documents() {}

  /**
   * Reads a file and parses it.
   *
   * @param kind what the file is, for messages
   * @param file the file
   * @param parser parses the text
   * @param <T> the type of the value
   * @return the value
   * @throws CommandException if the file can't be read, or is wrong; it names every wrong field
   */
  public static <T> T read(String kind, Path file, Function<String, T> parser) {
    try {
      return parser.apply(text(kind, file));
    } catch (InvalidDocumentException e) {
      throw new CommandException(
          ExitCode.FAILED, "The " + kind + " " + file + " is wrong:", e.errors());
    }
  }

  /**
   * Writes a file, which must not exist.
   *
   * @param file the file
   * @param text its text
   * @throws CommandException if it exists or can't be written
   */
  public static void write(Path file, String text) {
    try {
      Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
    } catch (FileAlreadyExistsException e) {
      throw new CommandException(ExitCode.FAILED, "The file " + file + " exists already.");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAILED, "The file " + file + " can't be written: " + e.getMessage());
    }
  }

  private static String text(String kind, Path file) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new CommandException(
            ExitCode.FAILED,
            "The " + kind + " " + file + " is longer than " + MAX_FILE_BYTES + " bytes.");
      }
      return Files.readString(file);
    } catch (NoSuchFileException e) {
      throw new CommandException(ExitCode.FAILED, "There is no " + kind + " " + file + ".");
    } catch (MalformedInputException e) {
      throw new CommandException(ExitCode.FAILED, "The " + kind + " " + file + " is not UTF-8.");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAILED, "The " + kind + " " + file + " can't be read: " + e.getMessage());
    }
  }
}
